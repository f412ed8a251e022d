/** Small stand-ins of the store, engines, tools and collectors, with faults. */
export {};
