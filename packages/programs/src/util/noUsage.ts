import type { Usage } from '../programRecord';

/** Usage of a call that did not run. */
export const NO_USAGE: Usage = { tokens: 0, calls: 0, spendMicros: 0 };
