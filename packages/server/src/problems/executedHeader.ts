/**
 * Header of a response that tells whether the call was executed: `no`, `yes` or `unknown`. Targets
 * may send it, too; their own values are not passed on to callers.
 */
export const EXECUTED_HEADER = 'limpetnotch-executed';
