import { ProcessSignals } from '@limpetnotch/supervision';

/** Installed before the other modules of the program are loaded, because main imports it first. */
export const programSignals = ProcessSignals.install();
