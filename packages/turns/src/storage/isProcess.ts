import type { TurnClient } from './turnClients';

const CALL_MILLISECONDS = 1_500;

/**
 * Returns whether an instance still has the process that its presence names. Otherwise its disk may have
 * been wiped, and a list of its turns that was read before proves nothing.
 */
export const isProcess = async (client: TurnClient, incarnation: string): Promise<boolean> => {
  // No turn has an empty id, so that the response has no turns.
  const response = await client.readChain(
    { organisation: '', id: '' },
    { timeoutMs: CALL_MILLISECONDS },
  );
  return response.incarnation === incarnation;
};
