export type { BudgetDecision, BudgetGate, BudgetRequest } from './budgets/budgetGate';
export type { CallEnvelope, ProgramReference, PromptShape } from './calls/callEnvelope';
export type {
  ResponseHead,
  DispatchedEnvelope,
  DispatchMetadata,
  EnvelopeError,
  NamedLimit,
  LoadReport,
  ReportedLoad,
  WireCodec,
} from './calls/wireCodec';
export type {
  FleetConfiguration,
  FleetOrganisation,
  FleetRoute,
  RouteContext,
  RouteExecution,
  TargetService,
} from './configuration/fleetConfiguration';
export type { FleetCodec, KeyedValue, OperatorEntry, TargetEntry } from './fleet/fleetCodec';
export { Gateway } from './gateway';
export type { GatewayParts } from './gateway';
export type { GatewaySettings } from './gatewaySettings';
export { liftStoredQuarantine, listStoredQuarantine } from './quarantine/storedQuarantine';
export type { LiftOutcome } from './quarantine/storedQuarantine';
export { fleetTargetSchema } from './targets/fleetTarget';
export type { FleetTarget } from './targets/fleetTarget';
export type { ConnectionGuard } from './ingress/connectionGuard';
export { HttpListener } from './ingress/httpListener';
export { IngressServer } from './ingress/ingressServer';
