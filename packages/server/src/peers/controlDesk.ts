import type { ControlReply, ControlRequest } from '@limpetnotch/peer-protocol';
import type { Heartbeats } from './heartbeats';

/** Answers the control messages of peers. */
export class ControlDesk {
  readonly #heartbeats: Heartbeats;

  constructor(heartbeats: Heartbeats) {
    this.#heartbeats = heartbeats;
  }

  /** Returns the answer to one message. */
  answer(message: ControlRequest['message']): ControlReply {
    switch (message.case) {
      case 'heartbeat':
        this.#heartbeats.take(message.value);
        return { case: 'heartbeat', value: this.#heartbeats.own() };
      case 'slices':
      case undefined:
        return { case: undefined };
      // no default
    }
  }
}
