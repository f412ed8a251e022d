/** Quickstart, fault matrix, randomised runs and benchmarks. */
export {};
