"""What the operators' plan costs: measured slopes, the plan's figures, and the page made of both."""
