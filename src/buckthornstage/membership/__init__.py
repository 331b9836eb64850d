"""Who is in the mesh: member records, merge and failure detection."""
