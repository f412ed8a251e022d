export { Instance } from './instance/instance';
export type { InstanceOptions } from './instance/instance';
export { parseSettings } from './parseSettings';
export type { ProblemDocument } from './problems/problem';
export { PROBLEMS } from './problems/problemId';
export type { ProblemId } from './problems/problemId';
export { runInstance } from './runInstance';
export { settingsSchema } from './settings';
export type { Settings } from './settings';
