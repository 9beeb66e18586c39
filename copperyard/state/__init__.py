"""What a gateway must not forget when it dies: facts, their journal, snapshots, recovery. No I/O in here."""
