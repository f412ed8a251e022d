export { CollectorStandIn } from './collector/collectorStandIn';
export { parseStatsd } from './collector/parseStatsd';
export type { StatsdSample } from './collector/parseStatsd';
export { joinAnswerText, planAnswer } from './engine/answerText';
export type { PlannedAnswer } from './engine/answerText';
export { chatRequestSchema } from './engine/chatRequest';
export type { ChatRequest } from './engine/chatRequest';
export { EngineStandIn } from './engine/engineStandIn';
export type { EngineOptions, EngineSettings, EngineSettingsChange } from './engine/engineSettings';
export type { EngineStatistics } from './engine/engineStatistics';
export type { CallResult, Executed } from './load/callResult';
export { completionText } from './load/completionText';
export { EntryCaller } from './load/entryCaller';
export type { EntryCall } from './load/entryCaller';
export { drawSteps, generatePrograms, SMALL_MIX } from './load/programGenerator';
export type {
  OrganisationLoad,
  ProgramGeneratorOptions,
  ProgramMix,
} from './load/programGenerator';
export { ProgramRunner } from './load/programRunner';
export type { ConversationMessage, FinishedStep, ProgramRunnerOptions } from './load/programRunner';
export type { PlannedProgram, ProgramStep } from './load/programShape';
export { CallerConnection } from './platform/callerConnection';
export type { CallerOutcome, CallerRecord, CallerRequest } from './platform/callerRecord';
export { eventText } from './platform/eventText';
export { platformConfiguration } from './platform/platformConfiguration';
export type { StandInRoute } from './platform/platformConfiguration';
export { platformRequestHeaders } from './platform/platformRequestHeaders';
export { PLATFORM_PORTS, platformSettings, READINESS_PATH } from './platform/platformSettings';
export type { PlatformSettingsOptions } from './platform/platformSettings';
export { PlatformStoreStandIn } from './platform/platformStoreStandIn';
export { PlatformTargetStandIn } from './platform/platformTargetStandIn';
export type { TargetMode } from './platform/platformTargetStandIn';
export type { TargetRun } from './platform/targetRun';
export { StoreStandIn } from './store/storeStandIn';
export type { HeldTransaction, StoreStandInOptions } from './store/storeStandIn';
export type { StoreFaults, StoreFaultsChange } from './store/storeFaults';
export type { StoreStatistics } from './store/storeStatistics';
export type { ToolFaults, ToolFaultsChange } from './tools/toolFaults';
export { ToolStandIn } from './tools/toolStandIn';
export type { ToolExecution } from './tools/toolStandIn';
export { Gate } from './util/gate';
export type { HeldCall } from './util/gate';
export type { ReceivedRequest } from './util/requestRecorder';
export { SeededRandom } from './util/seededRandom';
export { StandInServer } from './util/standInServer';
export { endlessAnswers, sendWithoutEnd } from './util/endlessAnswers';
export type { EndlessAnswer } from './util/endlessAnswers';
