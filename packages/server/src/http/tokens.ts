/** Injection tokens of the HTTP side; types alone leave no metadata to inject by. */
export const CALL_DESK = Symbol('CallDesk');
export const PROGRAM_REQUESTS = Symbol('ProgramRequests');
export const ADMISSION = Symbol('Admission');
export const READINESS = Symbol('Readiness');
export const OPERATOR_DESK = Symbol('OperatorDesk');
