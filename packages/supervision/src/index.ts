export type { ChildContext, ChildSpecification } from './childSpecification';
export { Deferred } from './deferred';
export { delay } from './delay';
export { settleWithin } from './settleWithin';
export { shutdownSignal } from './shutdownSignal';
export { Supervisor } from './supervisor';
export type { SupervisorOptions } from './supervisor';
