"""Connects the decision module to the operators' simulator: frames on standard input and output."""
