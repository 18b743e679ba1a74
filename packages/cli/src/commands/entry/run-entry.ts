import {EntryDaemon, entrySettingsSchema} from '@cicadapost/entry';
import {ConnectionPool} from '@cicadapost/forwarding';
import {createLogger} from '@cicadapost/observability';
import {createPlatform} from '@cicadapost/platform-adapter';
import {SystemClock} from '@cicadapost/types';
import {readSettingsFile} from '../../read-settings-file.js';
import {watchSettings} from './watch-settings.js';

/** Builds an entry daemon from its settings file and runs it until SIGTERM or SIGINT. */
export async function runEntry(file: string): Promise<void> {
	const settings = readSettingsFile(file, entrySettingsSchema);
	const logger = createLogger({daemon: settings.vm, dataCentre: settings.dataCentre, level: settings.log.level});
	const pool = new ConnectionPool();
	const daemon = new EntryDaemon({
		settings,
		clock: new SystemClock(),
		logger,
		pool,
		platform: createPlatform({
			storeAddress: settings.store.address,
			dutyAddress: settings.duties?.address,
			pool,
			onUnexpectedResponse(detail) {
				logger.warn({event: 'store-answer'}, detail);
			},
		}),
	});
	await daemon.start();
	watchSettings({
		file,
		read: () => readSettingsFile(file, entrySettingsSchema),
		onChanged(changed) {
			daemon.reload(changed);
		},
		onError(err) {
			logger.warn({event: 'reload', err}, 'the settings file can\'t be read; the previous settings stay in effect');
		},
	});
	let isStopping = false;
	const stop = () => {
		if (!isStopping) {
			isStopping = true;
			void (async () => {
				await daemon.shutDown();
				process.exit(0);
			})();
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}
