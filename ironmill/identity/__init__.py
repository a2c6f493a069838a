"""Who calls: tokens, keys, the rules that map them to tenants and rights. Nothing here reads or writes."""
