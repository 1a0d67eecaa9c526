"""The origins of streams, kept by peers, so that another daemon can resume a stream."""
