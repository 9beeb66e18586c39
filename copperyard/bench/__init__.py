"""The adapter between the decision module and the operators' bench: frames on standard input and output."""
