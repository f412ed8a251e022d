/** The binary limpetnotch: the operators' command line. */
export {};
