"""Workloads, load generator, baselines, scale run, reports and plots."""
