import type { PublishError } from '@limpetnotch/declarations';
import type { CommandError } from '../commandError';

/** Wraps an error of the publisher as a command error. */
export const wrapPublishError = (error: PublishError): CommandError => ({ kind: 'publish', error });
