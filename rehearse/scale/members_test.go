package scale

import "laddertide/rehearse/scale/hollow"

func hollowConfig() hollow.Config {
	return hollow.Config{Cluster: "test", Expect: 1, Members: []hollow.Member{{Name: "h1", Listen: nowhere, Advertise: nowhere, Discovery: nowhere}}}
}
