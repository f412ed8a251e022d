export { buildConfiguration } from './buildConfiguration';
export { checkConfiguration } from './checking/checkConfiguration';
export { checkDeclarations } from './checking/checkDeclarations';
export type { DeclarationFile } from './checking/declarationFile';
export type { Fault, FaultProblem } from './checking/fault';
export { parseDeclarations } from './checking/parseDeclarations';
export type { ParsedDeclarations, ParsedObject, ParsedReference } from './checking/parsedObject';
export type { Configuration } from './configuration';
export { listDeclarations } from './listDeclarations';
export { diffConfigurations } from './diffConfigurations';
export type { ConfigurationChange } from './diffConfigurations';
export {
  chunkKey,
  CHUNK_PREFIX,
  HISTORY_PREFIX,
  historyKey,
  ROOT_KEY,
} from './format/configurationKeys';
export { configurationRootSchema } from './format/configurationRoot';
export type { ConfigurationRoot } from './format/configurationRoot';
export { decodeConfiguration, decodeRoot } from './format/decodeConfiguration';
export { describeFormatError } from './format/describeFormatError';
export { computeDigest } from './format/computeDigest';
export { encodeConfiguration, MAXIMUM_VALUE_BYTES } from './format/encodeConfiguration';
export type { EncodedConfiguration } from './format/encodeConfiguration';
export type { FormatError } from './format/formatError';
export { FORMAT_VERSION } from './format/formatVersion';
export { createSampleConfiguration } from './measurement/createSampleConfiguration';
export type { ChunkSource, PeerConfigurationSource, SourceError } from './publishing/chunkSource';
export { ConfigurationFollower } from './publishing/configurationFollower';
export type { ConfigurationFollowerOptions } from './publishing/configurationFollower';
export { ConfigurationPublisher } from './publishing/configurationPublisher';
export type { PublishedRevision, PublishRequest } from './publishing/configurationPublisher';
export type { PublishError } from './publishing/publishError';
export type { ConfigurationListener } from './publishing/revisionHolder';
export { StoreChunkSource } from './publishing/storeChunkSource';
export { budgetSpecSchema } from './schemas/budget';
export type { BudgetSpec } from './schemas/budget';
export { declarationKindSchema, declarationSchema } from './schemas/declaration';
export type { Declaration, DeclarationKind } from './schemas/declaration';
export { keySpecSchema } from './schemas/key';
export type { KeySpec } from './schemas/key';
export { objectNameSchema } from './schemas/objectName';
export { organisationSpecSchema, rateSchema } from './schemas/organisation';
export type { OrganisationSpec, Rate } from './schemas/organisation';
export { routeAccessSchema, routeServiceSchema, routeSpecSchema } from './schemas/route';
export type { RouteAccess, RouteService, RouteSpec } from './schemas/route';
export { targetBackendSchema, targetSpecSchema } from './schemas/target';
export type { TargetBackend, TargetSpec } from './schemas/target';
