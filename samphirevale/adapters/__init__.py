"""The ports by h11, websockets and CBOR."""
