/* eslint-disable import-x/prefer-default-export -- as the other modules */
/** A consumer's connection that it keeps open for one request after another. */
import { Agent, request as sendRequest } from 'node:http';

export class KeptConnection {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  #target;

  constructor(instance, port) {
    this.#target = { host: instance.host, port };
  }

  /** Sends a request; resolves to how it ended, and whether the connection had served others. */
  send({ method = 'POST', path, headers, body, waitMilliseconds }) {
    return new Promise((done) => {
      let status;
      let timer;
      const outgoing = sendRequest({ ...this.#target, agent: this.#agent, method, path, headers });
      const finish = (how) => {
        clearTimeout(timer);
        if (how !== 'answered') outgoing.destroy();
        done({ how, status, isKept: outgoing.reusedSocket });
      };
      timer = setTimeout(() => finish('gave up'), waitMilliseconds);
      outgoing.once('error', (error) =>
        finish(error.code === 'ECONNREFUSED' ? 'refused' : 'closed'),
      );
      outgoing.once('response', (response) => {
        status = response.statusCode;
        response.resume();
        response.once('error', () => finish('closed'));
        response.once('close', () => finish(response.complete ? 'answered' : 'closed'));
      });
      outgoing.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
