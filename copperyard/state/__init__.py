"""What a gateway must remember across restarts: facts, their journal, snapshots and recovery. No I/O here."""
