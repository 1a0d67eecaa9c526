"""Value types shared by every layer: identifiers, chat messages, usage, members."""
