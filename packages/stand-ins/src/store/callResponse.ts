/** Response to one call to the store: the body of a 200 response, or an error. */
export type CallResponse =
  | { readonly kind: 'answered'; readonly body: object }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly code: number;
      readonly message: string;
    };

export const toSuccessResponse = (body: object): CallResponse => ({ kind: 'answered', body });

/** Returns an error response with an HTTP status and a gRPC code. */
export const toErrorResponse = (status: number, code: number, message: string): CallResponse => ({
  kind: 'refused',
  status,
  code,
  message,
});
