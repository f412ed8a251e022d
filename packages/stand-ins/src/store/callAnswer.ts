/** Answer of one call to the store: the body of a 200, or a refusal. */
export type CallAnswer =
  | { readonly kind: 'answered'; readonly body: object }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly code: number;
      readonly message: string;
    };

/** Answers with a body. */
export const answered = (body: object): CallAnswer => ({ kind: 'answered', body });

/** Refuses with an HTTP status and a gRPC code. */
export const refused = (status: number, code: number, message: string): CallAnswer => ({
  kind: 'refused',
  status,
  code,
  message,
});
