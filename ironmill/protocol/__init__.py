"""State machines of the line protocol and of discovery's HTTP. They know no socket and no clock."""
