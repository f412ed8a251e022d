export type { ChildContext, ChildSpecification } from './childSpecification';
export { Deferred } from './deferred';
export { delay } from './delay';
export { Supervisor } from './supervisor';
export type { SupervisorOptions } from './supervisor';
