import { create } from '@bufbuild/protobuf';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import type {
  SliceDemand as SliceDemandMessage,
  SliceGrant as SliceGrantMessage,
} from '@limpetnotch/peer-protocol';
import { SliceDemandSchema, SliceGrantSchema } from '@limpetnotch/peer-protocol';

/** Creates the peer protocol message of a demand. */
export const createDemandMessage = (demand: SliceDemand): SliceDemandMessage =>
  create(SliceDemandSchema, demand);

/** Reads the message of a demand. */
export const toDemand = (message: SliceDemandMessage): SliceDemand => ({
  organisation: message.organisation,
  wanted: message.wanted,
  serviceTokens: message.serviceTokens,
  held: message.held,
  lastGrant: message.lastGrant,
});

/** Creates the peer protocol message of a grant. */
export const createGrantMessage = (grant: SliceGrant): SliceGrantMessage =>
  create(SliceGrantSchema, grant);

/** Reads the message of a grant. */
export const toGrant = (message: SliceGrantMessage): SliceGrant => ({
  organisation: message.organisation,
  grant: message.grant,
  granted: message.granted,
  expiresInMilliseconds: message.expiresInMilliseconds,
  retryAfterMilliseconds: message.retryAfterMilliseconds,
  remoteServiceTokens: message.remoteServiceTokens,
});
