"""Days of one trouble alone: what each kind costs on a deployment's quiet traffic.

The deployments' standard days stand at their upper marks, so their scores can't show
what a change is worth. Here the marks are 1 and 0: a day's score is its worth.
"""
