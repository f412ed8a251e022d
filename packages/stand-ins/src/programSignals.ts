import { ProcessSignals } from '@limpetnotch/supervision';

/**
 * Installed before the other modules of the program load, because `main` imports this module first.
 */
export const programSignals = ProcessSignals.install();
