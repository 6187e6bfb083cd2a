"""The peer protocol between nodes: messages, links and membership."""
