"""Protocol between nodes: messages, codec, effects and log batches."""
