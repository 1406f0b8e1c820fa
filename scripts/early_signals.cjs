// Ignores SIGHUP (reload the settings) while the daemon is loading, since it would terminate
// the process. No change is lost: the settings are read after loading, and again when their
// file has changed.
process.on('SIGHUP', () => undefined);
