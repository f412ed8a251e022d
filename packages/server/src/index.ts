/** The binary limpetnotchd: settings, supervisor tree, HTTP entry, call owner and target client. */
export {};
