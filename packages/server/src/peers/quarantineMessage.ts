import { create } from '@bufbuild/protobuf';
import type { QuarantinedRequest } from '@limpetnotch/peer-protocol';
import { QuarantinedRequestSchema, TargetCrashSchema } from '@limpetnotch/peer-protocol';
import type { QuarantineEntry } from '@limpetnotch/scheduling';

/** Builds the message of a quarantine entry. */
export const quarantineMessage = (entry: QuarantineEntry): QuarantinedRequest =>
  create(QuarantinedRequestSchema, {
    ...entry,
    crashes: entry.crashes.map((crash) => create(TargetCrashSchema, crash)),
  });

/** Reads the message of a quarantine entry. */
export const quarantineEntryOf = (message: QuarantinedRequest): QuarantineEntry => ({
  requestDigest: message.requestDigest,
  organisation: message.organisation,
  route: message.route,
  crashes: message.crashes.map(({ target, atMilliseconds }) => ({ target, atMilliseconds })),
  liftedAtMilliseconds: message.liftedAtMilliseconds,
  expiresAtMilliseconds: message.expiresAtMilliseconds,
});
