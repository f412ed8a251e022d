import type { StoreEntry } from '../keyValueStore';
import { decodeBase64 } from '../util/base64';
import type { EncodedKeyValue } from './responseSchemas';

/** Decodes a key and its value from a response of the gateway. */
export const toStoreEntry = (keyValue: EncodedKeyValue): StoreEntry => ({
  key: decodeBase64(keyValue.key),
  value: decodeBase64(keyValue.value),
  revision: keyValue.mod_revision,
});
