"""The policy that predicts missed deadlines, and the placement of tasks on machines."""
