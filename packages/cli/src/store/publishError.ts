import type { PublishError } from '@limpetnotch/declarations';
import type { CommandError } from '../commandError';

/** Wraps an error of the publisher. */
export const publishError = (error: PublishError): CommandError => ({ kind: 'publish', error });
