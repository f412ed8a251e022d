import { create } from '@bufbuild/protobuf';
import type { QuarantineEntry } from '@limpetnotch/scheduling';
import type { QuarantinedRequest } from './generated/limpetnotch/peer/v1/peer_pb';
import {
  QuarantinedRequestSchema,
  TargetCrashSchema,
} from './generated/limpetnotch/peer/v1/peer_pb';

/** Converts a quarantine entry to its protocol message. */
export const quarantineMessage = (entry: QuarantineEntry): QuarantinedRequest =>
  create(QuarantinedRequestSchema, {
    ...entry,
    crashes: entry.crashes.map(({ isIncidental = false, ...crash }) =>
      create(TargetCrashSchema, { ...crash, isIncidental }),
    ),
  });

/** Converts a protocol message to a quarantine entry. */
export const quarantineEntryOf = (message: QuarantinedRequest): QuarantineEntry => ({
  requestDigest: message.requestDigest,
  organisation: message.organisation,
  route: message.route,
  crashes: message.crashes.map(({ target, atMilliseconds, isIncidental }) => ({
    target,
    atMilliseconds,
    isIncidental,
  })),
  liftedAtMilliseconds: message.liftedAtMilliseconds,
  expiresAtMilliseconds: message.expiresAtMilliseconds,
});
