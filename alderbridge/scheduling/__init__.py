"""Predicts missed deadlines, chooses machines to rent, and places tasks on machines."""
