"""What the leader alone decides: machines rented and returned, and each team's quota divided among the controllers."""
