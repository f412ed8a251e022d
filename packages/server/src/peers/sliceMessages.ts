import { create } from '@bufbuild/protobuf';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import type {
  SliceDemand as SliceDemandMessage,
  SliceGrant as SliceGrantMessage,
} from '@limpetnotch/peer-protocol';
import { SliceDemandSchema, SliceGrantSchema } from '@limpetnotch/peer-protocol';

/** Builds the message of a demand. */
export const demandMessage = (demand: SliceDemand): SliceDemandMessage =>
  create(SliceDemandSchema, demand);

/** Reads the message of a demand. */
export const demandOfMessage = (message: SliceDemandMessage): SliceDemand => ({
  organisation: message.organisation,
  wanted: message.wanted,
  serviceTokens: message.serviceTokens,
  held: message.held,
  lastGrant: message.lastGrant,
});

/** Builds the message of a grant. */
export const grantMessage = (grant: SliceGrant): SliceGrantMessage =>
  create(SliceGrantSchema, grant);

/** Reads the message of a grant. */
export const grantOfMessage = (message: SliceGrantMessage): SliceGrant => ({
  organisation: message.organisation,
  grant: message.grant,
  granted: message.granted,
  expiresInMilliseconds: message.expiresInMilliseconds,
  retryAfterMilliseconds: message.retryAfterMilliseconds,
  remoteServiceTokens: message.remoteServiceTokens,
});
