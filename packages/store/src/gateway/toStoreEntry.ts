import type { StoreEntry } from '../keyValueStore';
import { decodeBase64 } from '../util/base64';
import type { KeyValueAnswer } from './answerSchemas';

/** Turns a key of the gateway's answer into an entry. */
export const toStoreEntry = (answer: KeyValueAnswer): StoreEntry => ({
  key: decodeBase64(answer.key),
  value: decodeBase64(answer.value),
  revision: answer.mod_revision,
});
