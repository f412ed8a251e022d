/** Messages between instances, with client and service glue. */
export {};
