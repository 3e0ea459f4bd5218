"""Keeps a processor busy until it is killed."""

if __name__ == "__main__":
    while True:
        pass
