namespace pearhaven {}
