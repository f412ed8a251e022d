/** Injection tokens of the HTTP API, because type-only imports leave no metadata for injection. */
export const CALL_DESK = Symbol('CallDesk');
export const PROGRAM_REQUESTS = Symbol('ProgramRequests');
export const ADMISSION = Symbol('Admission');
export const READINESS = Symbol('Readiness');
export const OPERATOR_DESK = Symbol('OperatorDesk');
