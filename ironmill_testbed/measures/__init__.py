"""The measurements of ``measure NAME``. Each prints a table, and one JSON object as its last line."""
