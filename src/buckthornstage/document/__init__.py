"""The configuration document: schema, acceptance, checkpoints."""
