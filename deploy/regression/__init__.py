"""The regression runs: a score of each deployment in the regression set."""
