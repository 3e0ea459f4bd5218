"""Names the operator's orders that empty data centres.

There is one object for each data centre, under its name; the value is empty.
"""

# Kind of the orders in the store.
KIND = "evacuations"
